#ifndef TEST_FREE_PORT_H_
#define TEST_FREE_PORT_H_

namespace baobabwall::test {

/// \brief Finds a port of 127.0.0.1 that nothing holds, for TCP and UDP, and
/// that no other test process is given.
/// \returns the port, not returned before; 0 if there is none.
int FreePort();

}  // namespace baobabwall::test

#endif  // TEST_FREE_PORT_H_
