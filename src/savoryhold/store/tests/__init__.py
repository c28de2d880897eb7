"""Tests of `savoryhold.store`."""
