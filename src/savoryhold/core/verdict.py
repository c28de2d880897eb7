"""Whether a request may have run at its target."""

import enum

__all__ = ['Verdict']


class Verdict(enum.Enum):
    """Whether a request was executed, as far as is known."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    DONE = 'done'
