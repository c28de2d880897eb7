"""Tests of the mesh package."""
