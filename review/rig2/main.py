"""Plays the case of a folder: ``python3 review/rig2/main.py review/N``.

Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
"""

import importlib.util
import pathlib
import signal
import sys
import traceback

EXIT_NOT_RUN = 2


def _stop(signum, frame):
    raise SystemExit(EXIT_NOT_RUN)


def main():
    """Load the case's ``play.py`` and play it."""
    sys.dont_write_bytecode = True
    signal.signal(signal.SIGTERM, _stop)
    case = pathlib.Path(sys.argv[1]).resolve()
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
    try:
        from rig import run_case

        spec = importlib.util.spec_from_file_location('play', case / 'play.py')
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
    except Exception:
        traceback.print_exc()
        return EXIT_NOT_RUN
    return run_case(case, module.play)


if __name__ == '__main__':
    sys.exit(main())
