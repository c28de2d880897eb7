"""Measurements: one script a measure, figures as ratios in one run."""
