"""Loading of the daemon's settings file."""

import pathlib
import tomllib

from pydantic import ValidationError

from savoryhold.core.errors import ConfigurationError
from savoryhold.settings.model import Settings

__all__ = ['load_settings']


def load_settings(path: pathlib.Path) -> Settings:
    """Load and validate the settings in a TOML file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.

    Raises
    ------
    ConfigurationError
        If the file is missing or not TOML, or has an unknown or invalid
        field; the text names the field.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f'{path}: {exc}') from exc
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise ConfigurationError(f'{path}: not TOML: {exc}') from exc
    try:
        return Settings.model_validate(fields)
    except ValidationError as exc:
        problems = [
            f'{path}: {".".join(str(part) for part in error["loc"])}: '
            f'{error["msg"]}'
            for error in exc.errors()
        ]
        raise ConfigurationError('\n'.join(problems)) from exc
