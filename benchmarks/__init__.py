"""Benchmarks, one module each; results are to be compared within one run."""
