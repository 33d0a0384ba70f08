"""Many nodes as one: agreement, members and the order of work. Nothing of it is loaded without [cluster]."""

FELLOWS = -1  # as whom the decisions hear all other nodes together, where use is told by copies
UNWELL = 0.1  # share of the members that may be suspected or dead where the others count as hearing all
