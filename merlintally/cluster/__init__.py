"""Edge nodes as a cluster: Raft, membership, work coordination and state copies.

Nothing of this package is imported without a section [cluster] in the operators' file.
"""

ALL_PEERS = -1  # sender of notes to the decisions that combine the draws of all other nodes
MAX_UNHEALTHY_SHARE = 0.1  # share of members that may be suspect or dead while draws still count as complete
