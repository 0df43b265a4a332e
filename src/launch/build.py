"""Writes the image of a program's modules.

``python -m launch.build IMAGE MODULE...`` imports the modules and writes an image of
them and of all that they import. It uses the path of this interpreter, so it is run
with the environment and the options that the program is run with.
"""

import importlib
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, SourceFileLoader

from launch.image import make_header

# Leaves out docstrings, as with the option -OO.
OPTIMIZE = 2


def build(path: str, modules: list[str]) -> int:
    """Write an image and return the number of its modules.

    Args:
        path: The path of the image.
        modules: The modules to import.
    """
    loaded = set(sys.modules)
    for name in modules:
        importlib.import_module(name)
    index, codes, size = {}, [], 0
    for name, module in sorted(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if name in loaded or spec is None or spec.name != name:
            continue
        folders = spec.submodule_search_locations
        folder = os.path.abspath(folders[0]) if folders else None
        if isinstance(spec.loader, ExtensionFileLoader) and folder is None:
            index[name] = (os.path.abspath(spec.origin), folder, 0, 0)
        elif isinstance(spec.loader, SourceFileLoader):
            source = spec.loader.get_data(spec.origin)
            file = os.path.abspath(spec.origin)
            code = compile(source, file, "exec", dont_inherit=True, optimize=OPTIMIZE)
            codes.append(marshal.dumps(code))
            index[name] = (file, folder, size, size + len(codes[-1]))
            size += len(codes[-1])
    packed = marshal.dumps(index)
    with open(path, "wb") as file:
        file.write(make_header() + len(packed).to_bytes(8, "little") + packed)
        file.writelines(codes)
    return len(index)


if __name__ == "__main__":
    count = build(sys.argv[1], sys.argv[2:])
    print(f"{sys.argv[1]}: {count} modules")
