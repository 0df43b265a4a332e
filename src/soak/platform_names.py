"""Loads the adapter, which alone knows the names on the platform's wire."""

import importlib
import sys
from types import ModuleType

from soak.hosts import PROGRAM


def load_writing() -> ModuleType:
    """Return the adapter's module that writes accounts and their bounds."""
    folder = str(PROGRAM.parent)
    if folder not in sys.path:
        sys.path.append(folder)
    return importlib.import_module("adapter.writing")
