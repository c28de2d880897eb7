"""Decisions of the router: no sockets, files, timers or clock of its own."""
