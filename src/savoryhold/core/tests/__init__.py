"""Tests of the decisions, without I/O and on a virtual clock."""
