"""Tests of `savoryhold.cli`."""
