#ifndef BAOBABRACK_DAEMON_CLIENT_SETTINGS_HPP
#define BAOBABRACK_DAEMON_CLIENT_SETTINGS_HPP

#include <memory>

#include "baobabrack/config.pb.h"
#include "baobabrack/transport/http_server.hpp"

namespace baobabrack {

/// @return the limits that all HTTP servers of a process share
std::shared_ptr<client_limits> create_client_limits(const wire::ClientSettings& settings,
                                                    metrics_registry& metrics);

/// @return the options of one server with the settings and limits of the process
http_server::options with_client_settings(http_server::options options,
                                          const wire::ClientSettings& settings,
                                          std::shared_ptr<client_limits> limits);

}  // namespace baobabrack

#endif
