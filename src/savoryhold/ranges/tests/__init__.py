"""Tests of the ranges package."""
