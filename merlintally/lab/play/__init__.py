"""What plays days in simulated time: the world, its clients, edge nodes and troubles, and experiments."""
