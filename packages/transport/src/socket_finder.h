#ifndef TRANSPORT_SRC_SOCKET_FINDER_H_
#define TRANSPORT_SRC_SOCKET_FINDER_H_

#include <set>
#include <string>

#include "absl/strings/string_view.h"

/// \brief Finds the sockets of CivetWeb's connections.
///
/// CivetWeb's public interface exposes the addresses and ports of a connection
/// but not its socket. The socket is needed to detect that the peer has closed
/// the connection, to interrupt a blocked read, and to limit the time of a
/// read.
namespace baobabwall::transport::internal {

/// \brief Finds the socket of the accepted connection that the calling worker
/// thread serves. The socket is looked up once per connection and cached.
/// \param peer_address IP address of the peer.
/// \param peer_port port of the peer.
/// \param local_port port on which the connection was accepted.
/// \returns -1 if there is no such connection.
/// \sa ResetAcceptedSocket()
int FindAcceptedSocket(absl::string_view peer_address,
                       int peer_port,
                       int local_port);

/// \brief Clears the cached socket of the calling worker thread. Must be called
/// when the thread starts to serve another connection.
void ResetAcceptedSocket();

/// \brief Finds the socket of a connection that this process opened.
/// \param claimed_sockets sockets of other connections, which are skipped.
/// \returns -1 unless exactly one socket matches.
int FindOpenedSocket(absl::string_view peer_address,
                     int peer_port,
                     const std::set<int>& claimed_sockets);

/// \returns true if the peer closed the connection or if unread bytes have
/// arrived. Unread bytes on an idle connection do not belong to any request.
bool IsReadable(int socket);

}  // namespace baobabwall::transport::internal

#endif  // TRANSPORT_SRC_SOCKET_FINDER_H_
