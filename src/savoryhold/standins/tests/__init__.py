"""Tests of `savoryhold.standins`."""
