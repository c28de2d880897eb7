"""Whether a request may have run at its target."""

import enum

__all__ = ['Verdict']


class Verdict(enum.Enum):
    """What is known of a request's execution."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    DONE = 'done'
