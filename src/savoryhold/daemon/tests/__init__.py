"""Tests of `savoryhold.daemon`."""
