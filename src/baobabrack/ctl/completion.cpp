#include "baobabrack/ctl/completion.hpp"

#include <CLI/CLI.hpp>

namespace baobabrack::ctl {

namespace {

std::string completion_words(const CLI::App& command) {
    std::string words;
    for (const auto* child : command.get_subcommands(nullptr)) {
        words += child->get_name() + " ";
    }
    for (const auto* option : command.get_options()) {
        for (const auto& name : option->get_lnames()) {
            words += "--" + name + " ";
        }
    }
    return words;
}

void append_cases(std::string& script, const CLI::App& command, const std::string& path) {
    script += "        \"" + path + "\") words=\"" + completion_words(command) + "\" ;;\n";
    for (const auto* child : command.get_subcommands(nullptr)) {
        append_cases(script, *child,
                     path.empty() ? child->get_name() : path + " " + child->get_name());
    }
}

}  // namespace

std::string bash_completion(const CLI::App& app) {
    std::string script = R"(_baobabrackctl() {
    local current=${COMP_WORDS[COMP_CWORD]} path="" word words=""
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $word in
        ticket | request | job | workspace | worker | target | completion)
            [ -z "$path" ] && path=$word ;;
        [a-z]*) case $path in *" "* | "") ;; *) path="$path $word" ;; esac ;;
        esac
    done
    case $path in
)";
    append_cases(script, app, "");
    script += R"(    esac
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
    [ ${#COMPREPLY[@]} -gt 0 ] || mapfile -t COMPREPLY < <(compgen -f -- "$current")
}
complete -F _baobabrackctl baobabrackctl
)";
    return script;
}

}  // namespace baobabrack::ctl
