"""The cluster's cores in simulated time: a seeded network, clocks and disks, and checkers that see
everything."""
