#include "script/script_runner.hpp"

#include <tcl.h>

#include <memory>
#include <vector>

#include "script/script_commands.hpp"

namespace baobabrack::scenario {

namespace {

struct interpreter_closer {
    void operator()(Tcl_Interp* interpreter) const { Tcl_DeleteInterp(interpreter); }
};
using interpreter_handle = std::unique_ptr<Tcl_Interp, interpreter_closer>;

/// What a Tcl command needs to find its way back.
struct binding {
    script_commands* commands;
    script_commands::command run;
};

int invoke(ClientData data, Tcl_Interp* interpreter, int count, Tcl_Obj* const arguments[]) {
    auto& bound = *static_cast<binding*>(data);
    std::vector<std::string> given;
    for (int i = 1; i < count; ++i) {
        given.emplace_back(Tcl_GetString(arguments[i]));
    }
    words rest(std::move(given));
    try {
        (bound.commands->*bound.run)(rest);
    } catch (const std::exception& error) {
        Tcl_SetObjResult(interpreter, Tcl_NewStringObj(error.what(), -1));
        return TCL_ERROR;
    }
    return TCL_OK;
}

std::string folder_of(const std::string& path) {
    const auto slash = path.rfind('/');
    return slash == std::string::npos ? "." : path.substr(0, slash);
}

}  // namespace

std::string run_script(const std::string& path, std::uint64_t seed) {
    const interpreter_handle interpreter(Tcl_CreateInterp());
    script_commands commands(seed, folder_of(path));
    std::vector<std::unique_ptr<binding>> bindings;
    for (const auto& [name, run] : script_commands::table()) {
        bindings.push_back(std::make_unique<binding>(binding{&commands, run}));
        Tcl_CreateObjCommand(interpreter.get(), name.c_str(), invoke, bindings.back().get(),
                             nullptr);
    }
    if (Tcl_EvalFile(interpreter.get(), path.c_str()) == TCL_OK) {
        return "";
    }
    return Tcl_GetVar(interpreter.get(), "errorInfo", TCL_GLOBAL_ONLY);
}

}  // namespace baobabrack::scenario
