"""Many nodes as one: agreement, members and the order of work. Nothing of it is loaded without [cluster]."""
