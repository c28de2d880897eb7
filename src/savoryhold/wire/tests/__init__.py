"""Tests of `savoryhold.wire`."""
