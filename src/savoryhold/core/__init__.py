"""Decision logic of the router, without sockets, files and timers."""
