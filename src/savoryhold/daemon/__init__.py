"""The native daemon: its tasks, their sockets and state, and their wiring."""
