"""The real gateway: the policy on sockets, one process and one event loop."""
