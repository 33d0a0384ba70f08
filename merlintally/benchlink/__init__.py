"""The adapter between the bench and the decisions in merlintally.choice."""
