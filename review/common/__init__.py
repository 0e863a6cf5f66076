"""Stand-ins and the runner that the scripts of the review share."""
