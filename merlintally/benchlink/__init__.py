"""Connects the bench to the decisions in merlintally.choice."""
