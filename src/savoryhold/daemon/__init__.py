"""The daemon: tasks that own sockets and state, and their wiring."""
