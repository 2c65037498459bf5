"""Stand-ins and helpers that the cases of the second review share."""
