"""Tests of `savoryhold.target`."""
