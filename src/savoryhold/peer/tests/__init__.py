"""Tests of `savoryhold.peer`."""
