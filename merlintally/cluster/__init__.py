"""Edge nodes as a cluster: Raft, membership, work coordination and state copies.

Nothing of this package is imported without a section [cluster] in the operators' file.
"""

FELLOWS = -1  # sender of notes to the decisions that combine the draws of all other nodes
UNWELL = 0.1  # share of members that may be suspect or dead while draws still count as complete
