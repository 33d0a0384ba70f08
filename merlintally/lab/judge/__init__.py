"""What judges a day: the referee and its books, and the account of what was lost, by cause."""
