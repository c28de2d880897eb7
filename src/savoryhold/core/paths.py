"""Path templates such as ``/patients/{key}/slots`` and ``/media/**``."""

import dataclasses
import re

from savoryhold.core.errors import ConfigurationError

__all__ = ['PathTemplate']

_PARAMETER = re.compile(r'\{([a-z][a-z0-9_]*)\}')
_ANY_SEGMENTS = '**'


@dataclasses.dataclass(frozen=True, slots=True)
class PathTemplate:
    """A compiled path template.

    Parameters
    ----------
    text : str
        Segments separated by ``/``: literal text, ``{name}`` for one
        segment, or ``**`` at the end for any number of segments.

    Raises
    ------
    ConfigurationError
        If the text does not start with ``/``, repeats a parameter, or has
        ``**`` before its end.

    Examples
    --------
    >>> PathTemplate('/patients/{key}/**').match('/patients/7/slots')
    {'key': '7'}
    >>> PathTemplate('/patients/{key}').match('/doctors/7') is None
    True
    """

    text: str
    _pattern: re.Pattern[str] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Compile the template."""
        if not self.text.startswith('/'):
            raise ConfigurationError(
                f'path template {self.text!r} does not start with "/"'
            )
        segments = self.text[1:].split('/')
        if _ANY_SEGMENTS in segments[:-1]:
            raise ConfigurationError(
                f'path template {self.text!r} has "**" before its end'
            )
        names = [
            name for segment in segments for name in _parameter_names(segment)
        ]
        if len(names) != len(set(names)):
            raise ConfigurationError(
                f'path template {self.text!r} repeats a parameter name'
            )
        pattern = ''.join(_segment_pattern(segment) for segment in segments)
        object.__setattr__(self, '_pattern', re.compile(pattern))

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the template's parameters."""
        return frozenset(self._pattern.groupindex)

    def match(self, path: str) -> dict[str, str] | None:
        """Return the parameters of a path, None if it does not match."""
        found = self._pattern.fullmatch(path)
        return None if found is None else found.groupdict()


def _parameter_names(segment: str) -> list[str]:
    found = _PARAMETER.fullmatch(segment)
    return [found.group(1)] if found else []


def _segment_pattern(segment: str) -> str:
    if segment == _ANY_SEGMENTS:
        return '(?:/.*)?'
    names = _parameter_names(segment)
    if names:
        return f'/(?P<{names[0]}>[^/]+)'
    return '/' + re.escape(segment)
