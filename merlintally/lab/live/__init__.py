"""Days in real time: the same world behind sockets on loopback, round real node processes."""
