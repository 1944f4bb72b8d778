#ifndef TEST_FREE_PORT_H_
#define TEST_FREE_PORT_H_

namespace baobabwall::test {

/// \brief Finds a port on 127.0.0.1 that is free for TCP and UDP and that is
/// not reserved by another test process.
/// \returns a port that was not returned before; 0 if no port is free.
int FreePort();

}  // namespace baobabwall::test

#endif  // TEST_FREE_PORT_H_
