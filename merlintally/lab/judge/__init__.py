"""Evaluation of a day: the referee, and the breakdown of what was lost by cause."""
