#ifndef GATEWAY_SRC_HTTP_STATUS_H_
#define GATEWAY_SRC_HTTP_STATUS_H_

namespace baobabwall::gateway {

/// HTTP status codes that affect decisions or are sent to callers.
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpServerError = 500;
inline constexpr int kHttpBadGateway = 502;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_HTTP_STATUS_H_
