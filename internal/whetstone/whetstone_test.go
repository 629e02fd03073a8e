package whetstone_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"lemonarch/internal/mishap"
	"lemonarch/internal/model"
	"lemonarch/internal/whetstone"
)

// contract is what every disk has to keep.
func contract(test *testing.T, make func() whetstone.Disk) {
	read := func(disk whetstone.Disk) []string {
		var found []string
		stone, failure := whetstone.Open(disk, "file", func(_ int64, body []byte) error {
			found = append(found, string(body))
			return nil
		})
		if failure != nil {
			test.Fatal(failure)
		}
		stone.Close()
		return found
	}
	test.Run("records come back in order", func(test *testing.T) {
		disk := make()
		stone, failure := whetstone.Open(disk, "file", nil)
		if failure != nil {
			test.Fatal(failure)
		}
		offsets, failure := stone.Append([]byte("one"), []byte("two"))
		if failure != nil || stone.Sync() != nil {
			test.Fatal(failure)
		}
		body, failure := stone.ReadAt(offsets[1])
		if failure != nil || string(body) != "two" {
			test.Fatalf("read %q %v", body, failure)
		}
		if got := fmt.Sprint(read(disk)); got != "[one two]" {
			test.Fatal(got)
		}
	})
	test.Run("a rewrite keeps what it is given and nothing else", func(test *testing.T) {
		disk := make()
		stone, _ := whetstone.Open(disk, "file", nil)
		_, _ = stone.Append([]byte("one"), []byte("two"), []byte("three"))
		offsets, failure := stone.Rewrite(whetstone.Once([]byte("three")))
		if failure != nil || len(offsets) != 1 {
			test.Fatal(failure)
		}
		if _, failure = stone.Append([]byte("four")); failure != nil || stone.Sync() != nil {
			test.Fatal(failure)
		}
		if body, failure := stone.ReadAt(offsets[0]); failure != nil || string(body) != "three" {
			test.Fatalf("read %q %v", body, failure)
		}
		if got := fmt.Sprint(read(disk)); got != "[three four]" {
			test.Fatal(got)
		}
	})
}

func TestContractModel(test *testing.T) {
	contract(test, func() whetstone.Disk { return model.NewDisk(1) })
}

func TestContractFolder(test *testing.T) {
	contract(test, func() whetstone.Disk { return whetstone.Folder(test.TempDir()) })
}

func TestPowerLossKeepsWhatWasSynced(test *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		disk := model.NewDisk(seed)
		stone, _ := whetstone.Open(disk, "file", nil)
		_, _ = stone.Append([]byte("synced"))
		_ = stone.Sync()
		_, _ = stone.Append([]byte("perhaps"))
		disk.PowerLoss()
		var found []string
		if _, failure := whetstone.Open(disk, "file", func(_ int64, body []byte) error {
			found = append(found, string(body))
			return nil
		}); failure != nil {
			test.Fatalf("seed %d: %v", seed, failure)
		}
		if len(found) == 0 || found[0] != "synced" || (len(found) > 1 && found[1] != "perhaps") {
			test.Fatalf("seed %d: %v", seed, found)
		}
	}
}

func TestDamageBeforeTheTailStops(test *testing.T) {
	disk := model.NewDisk(1)
	stone, _ := whetstone.Open(disk, "file", nil)
	_, _ = stone.Append([]byte("one"), []byte("two"))
	_ = stone.Sync()
	disk.Spoil("file", 9)
	_, failure := whetstone.Open(disk, "file", func(int64, []byte) error { return nil })
	if !mishap.Of(failure, whetstone.Damage) {
		test.Fatalf("got %v", failure)
	}
}

func TestTornTailIsCutOnRealFiles(test *testing.T) {
	folder := test.TempDir()
	stone, _ := whetstone.Open(whetstone.Folder(folder), "file", nil)
	_, _ = stone.Append([]byte("one"), []byte("two"))
	_ = stone.Sync()
	path := filepath.Join(folder, "file")
	if failure := os.Truncate(path, stone.Size()-1); failure != nil {
		test.Fatal(failure)
	}
	var found []string
	again, failure := whetstone.Open(whetstone.Folder(folder), "file", func(_ int64, body []byte) error {
		found = append(found, string(body))
		return nil
	})
	if failure != nil || fmt.Sprint(found) != "[one]" {
		test.Fatal(found, failure)
	}
	if _, failure = again.Append([]byte("three")); failure != nil {
		test.Fatal(failure)
	}
}

func TestFullDiskRefusesAndKeepsWhatWas(test *testing.T) {
	disk := model.NewDisk(1)
	stone, _ := whetstone.Open(disk, "file", nil)
	_, _ = stone.Append([]byte("one"))
	disk.Room = 5
	if _, failure := stone.Append([]byte("does not fit")); !mishap.Of(failure, whetstone.Broken) {
		test.Fatalf("got %v", failure)
	}
	disk.Room = -1
	if _, failure := stone.Append([]byte("two")); failure != nil {
		test.Fatal(failure)
	}
	var found []string
	_, failure := whetstone.Open(disk, "file", func(_ int64, body []byte) error {
		found = append(found, string(body))
		return nil
	})
	if failure != nil || fmt.Sprint(found) != "[one two]" {
		test.Fatal(found, failure)
	}
}
