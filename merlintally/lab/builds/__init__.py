"""Builds of the decisions that a day is played with: the module, a revision or file of it, or a baseline."""
