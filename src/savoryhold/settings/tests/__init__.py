"""Tests of `savoryhold.settings`."""
