"""The daemon's view of the target on its host, and calls to it."""

from savoryhold.target.client import TargetClient, TargetGoneError
from savoryhold.target.tracker import Announcement, TargetTracker

__all__ = ['Announcement', 'TargetClient', 'TargetGoneError', 'TargetTracker']
