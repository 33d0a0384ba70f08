"""What tells of days: figures, results files, comparisons, the HTML report, one submission followed."""
