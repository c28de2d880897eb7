"""Tests of `savoryhold.gateway`."""
