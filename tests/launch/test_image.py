import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SRC = Path(__file__).resolve().parents[2] / "src"
# Imports the package from the image only: its folder is not on the path.
USE = """
import sys
sys.path.insert(0, sys.argv[1])
from launch import image
finder = image.install(sys.argv[2])
import shop.orders
print(shop.orders.count(), shop.orders.__file__, shop.orders.__doc__)
image.remove(finder)
print(finder in sys.meta_path)
"""


class ImageTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory())).resolve()
        package = self.folder / "lib" / "shop"
        package.mkdir(parents=True)
        (package / "__init__.py").write_text('"""Sells."""\n')
        (package / "orders.py").write_text(
            '"""Counts."""\nimport json\ndef count():\n    return json.loads("7")\n'
        )
        self.image = self.folder / "modules.image"

    def run_python(self, *args, path=(), cwd=None):
        environ = {"PYTHONPATH": ":".join(map(str, path))}
        done = subprocess.run(
            [sys.executable, "-S", *map(str, args)],
            env=environ,
            cwd=cwd or self.folder,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done

    def build(self):
        done = self.run_python(
            "-m",
            "launch.build",
            self.image,
            "shop.orders",
            path=(SRC, self.folder / "lib"),
        )
        self.assertEqual(done.returncode, 0, done.stderr)

    def use(self, **options):
        return self.run_python("-c", USE, SRC, self.image, **options)

    def test_a_package_is_imported_from_the_image_alone(self):
        self.build()
        done = self.use()
        orders = self.folder / "lib" / "shop" / "orders.py"
        self.assertEqual(done.stdout.splitlines(), [f"7 {orders} None", "False"])

    def test_modules_that_the_image_lacks_are_found_on_the_path(self):
        self.build()
        extra = self.folder / "lib" / "shop" / "orders.py"
        extra.write_text("import shop.parts\ndef count():\n    return shop.parts.N\n")
        (extra.parent / "parts.py").write_text("N = 8\n")
        self.assertIn("7 ", self.use().stdout)
        self.image.unlink()
        done = self.use(path=(self.folder / "lib",))
        self.assertIn("8 ", done.stdout)
        self.assertIn("importing without it", done.stderr)

    def test_an_image_of_another_folder_or_version_is_not_used(self):
        self.build()
        elsewhere = self.folder / "elsewhere"
        elsewhere.mkdir()
        done = self.use(cwd=elsewhere, path=(self.folder / "lib",))
        self.assertIn("7 ", done.stdout)
        self.assertIn("in another folder", done.stderr)
        data = self.image.read_bytes()
        self.image.write_bytes(data.replace(sys.version.encode(), b"2.7", 1))
        self.assertIn(
            "another interpreter", self.use(path=(self.folder / "lib",)).stderr
        )
        self.image.write_bytes(b"")
        self.assertIn(
            "another interpreter", self.use(path=(self.folder / "lib",)).stderr
        )
