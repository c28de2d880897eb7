"""Stand-ins and checks of the review; only the standard library is used."""
