"""Calls from a daemon to the target beside it."""

from savoryhold.target.client import TargetClient, TargetGoneError
from savoryhold.target.tracker import Announcement, TargetTracker

__all__ = ['Announcement', 'TargetClient', 'TargetGoneError', 'TargetTracker']
