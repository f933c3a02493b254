#include "baobabrack/gangs/gang_context.hpp"

#include "baobabrack/gangs/responsibility.hpp"

namespace baobabrack {

bool gang_context::may_act() const {
    return duty.unconfirmed() < options.renewal_limit;
}

bool gang_context::may_grant() const {
    return duty.unconfirmed() < options.grant_limit;
}

}  // namespace baobabrack
