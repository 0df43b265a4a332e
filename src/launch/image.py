"""Imports modules from an image that ``launch.build`` has written."""

import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

MAGIC = b"module image 1"


def make_header() -> bytes:
    """Return what an image begins with that this process can use.

    The image holds code of one version of the interpreter, and absolute paths.
    """
    return b"\n".join([MAGIC, sys.version.encode(), os.getcwd().encode(), b""])


class ImageError(Exception):
    """Raised when a file is no image, or not one for this process."""


class ImageFinder:
    """Finds the modules of an image, before they are searched on the path.

    Args:
        data: The contents of the image.

    Raises:
        ImageError: The data are no image for this process.
    """

    def __init__(self, data: bytes) -> None:
        header = make_header()
        if not data.startswith(header):
            raise ImageError("built by another interpreter or in another folder")
        size_end = len(header) + 8
        index_end = size_end + int.from_bytes(data[len(header) : size_end], "little")
        # For each module: its file, the folder of a package's submodules or None, and
        # the start and the end of its code, which are 0 for an extension module.
        self._index = marshal.loads(data[size_end:index_end])
        self._code = memoryview(data)[index_end:]

    def find_spec(self, name: str, path=None, target=None) -> ModuleSpec | None:
        """Return how to load a module, or None if the image lacks it."""
        entry = self._index.get(name)
        if entry is None:
            return None
        file, folder, _, end = entry
        loader = self if end else ExtensionFileLoader(name, file)
        spec = ModuleSpec(name, loader, origin=file, is_package=folder is not None)
        if folder is not None:
            spec.submodule_search_locations = [folder]
        spec.has_location = True
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Leave the creation of the module to the interpreter."""

    def exec_module(self, module) -> None:
        """Run a module's code."""
        _, _, start, end = self._index[module.__name__]
        exec(marshal.loads(self._code[start:end]), module.__dict__)


def install(path: str) -> ImageFinder | None:
    """Import modules from an image from now on.

    Args:
        path: The path of the image.

    Returns:
        The finder, or None if the image can't be used. The modules are then imported
        from their own files.
    """
    try:
        with open(path, "rb") as file:
            finder = ImageFinder(file.read())
    except (OSError, ImageError) as exc:
        print(f"{path}: {exc}; importing without it", file=sys.stderr)
        return None
    sys.meta_path.insert(0, finder)
    return finder


def remove(finder: ImageFinder | None) -> None:
    """Import modules from their own files again, and free the image's memory."""
    if finder is not None and finder in sys.meta_path:
        sys.meta_path.remove(finder)
