package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jackdawbarrow/fakes"
	"jackdawbarrow/store"
)

func start(t *testing.T, h http.Handler) (*store.Client, *httptest.Server) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := store.New(store.Config{Addresses: []string{srv.URL}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, srv
}

// Guards against a create or a change that overwrites another writer's value.
func TestPutComparesTheIndex(t *testing.T) {
	ctx := context.Background()
	c, _ := start(t, fakes.NewKeyValue())
	if ok, err := c.Put(ctx, "a/b c/ü", []byte("1"), 0); !ok || err != nil {
		t.Fatalf("create: %v %v", ok, err)
	}
	if ok, err := c.Put(ctx, "a/b c/ü", []byte("2"), 0); ok || err != nil {
		t.Fatalf("second create: %v %v", ok, err)
	}
	item, found, err := c.Get(ctx, "a/b c/ü")
	if !found || err != nil || string(item.Value) != "1" {
		t.Fatalf("get: %+v %v %v", item, found, err)
	}
	if ok, err := c.Put(ctx, item.Key, []byte("3"), item.Index+1); ok || err != nil {
		t.Fatalf("put with a wrong index: %v %v", ok, err)
	}
	if ok, err := c.Put(ctx, item.Key, []byte("3"), item.Index); !ok || err != nil {
		t.Fatalf("put: %v %v", ok, err)
	}
	if ok, err := c.Delete(ctx, item.Key, item.Index); ok || err != nil {
		t.Fatalf("delete with an old index: %v %v", ok, err)
	}
	items, err := c.List(ctx, "a/")
	if err != nil || len(items) != 1 || string(items[0].Value) != "3" {
		t.Fatalf("list: %+v %v", items, err)
	}
	if ok, err := c.Delete(ctx, item.Key, items[0].Index); !ok || err != nil {
		t.Fatalf("delete: %v %v", ok, err)
	}
	if _, found, err := c.Get(ctx, item.Key); found || err != nil {
		t.Fatalf("get after delete: %v %v", found, err)
	}
	if _, err := c.Put(ctx, "big", make([]byte, store.MaxValueBytes+1), 0); !errors.Is(err, store.ErrValueTooLarge) {
		t.Fatalf("put of a large value: %v", err)
	}
}

// Guards against a write that the transport sends a second time after its
// connection broke: the first attempt took effect, so the second would be answered
// as a conflict. The connection is reused, which is the case that is replayed.
func TestWritesAreSentOnce(t *testing.T) {
	kv := fakes.NewKeyValue()
	var tries atomic.Int64
	c, _ := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/") {
			tries.Add(1)
		}
		kv.ServeHTTP(w, r)
	}))
	ctx := context.Background()
	calls := map[string]func(key string, index uint64, lease string) error{
		"put": func(key string, index uint64, _ string) error {
			_, err := c.Put(ctx, key, []byte("x"), index)
			return err
		},
		"delete": func(key string, index uint64, _ string) error {
			_, err := c.Delete(ctx, key, index)
			return err
		},
		"acquire without a value": func(key string, _ uint64, lease string) error {
			_, _, err := c.Acquire(ctx, key, nil, lease)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for i := range 20 {
				kv.SetFault(fakes.KeyValueFault{})
				key := name + string(rune('a'+i))
				if _, err := c.Put(ctx, key, nil, 0); err != nil {
					t.Fatal(err)
				}
				lease, err := c.Lease(ctx, "l", 10*time.Second)
				if err != nil {
					t.Fatal(err)
				}
				item, _, err := c.Get(ctx, key) // leaves an idle connection
				if err != nil {
					t.Fatal(err)
				}
				kv.SetFault(fakes.KeyValueFault{LoseAnswers: 1})
				tries.Store(0)
				if err := call(key, item.Index, lease); err == nil {
					t.Fatal("a cut connection gave no error")
				}
				if n := tries.Load(); n != 1 {
					t.Fatalf("the write was sent %d times", n)
				}
			}
		})
	}
}

// Guards against a write that is repeated at the next address, and against a
// client that stays with an address that fails.
func TestAddresses(t *testing.T) {
	kv := fakes.NewKeyValue()
	good := httptest.NewServer(kv)
	defer good.Close()
	bad := httptest.NewServer(kv)
	bad.Close()
	c, err := store.New(store.Config{Addresses: []string{bad.URL, good.URL}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx := context.Background()
	if _, err := c.Put(ctx, "k", []byte("1"), 0); err == nil {
		t.Fatal("the write went on to the next address")
	}
	if ok, err := c.Put(ctx, "k", []byte("1"), 0); !ok || err != nil {
		t.Fatalf("the next write did not use the next address: %v %v", ok, err)
	}
	c2, _ := store.New(store.Config{Addresses: []string{bad.URL, good.URL}})
	defer c2.Close()
	if _, found, err := c2.Get(ctx, "k"); !found || err != nil {
		t.Fatalf("the read did not go on to the next address: %v %v", found, err)
	}
}

// Guards against watches that spin on a missing key, miss a creation, or do
// not notice a deletion.
func TestWatch(t *testing.T) {
	kv := fakes.NewKeyValue()
	c, _ := start(t, kv)
	ctx := context.Background()
	begin := time.Now()
	if _, found, err := c.Watch(ctx, "k", 0, 200*time.Millisecond); found || err != nil {
		t.Fatalf("watch of a missing key: %v %v", found, err)
	}
	if d := time.Since(begin); d < 150*time.Millisecond {
		t.Fatalf("the watch of a missing key returned after %s", d)
	}
	if n := kv.Counts()["watch"] + kv.Counts()["get"]; n > 3 {
		t.Fatalf("the watch of a missing key made %d calls", n)
	}
	change := func(f func() (bool, error)) {
		time.AfterFunc(50*time.Millisecond, func() { _, _ = f() })
	}
	change(func() (bool, error) { return c.Put(ctx, "k", []byte("1"), 0) })
	item, found, err := c.Watch(ctx, "k", 0, 5*time.Second)
	if !found || err != nil || string(item.Value) != "1" {
		t.Fatalf("creation: %+v %v %v", item, found, err)
	}
	kv.SetFault(fakes.KeyValueFault{SkipWatch: 1})
	first := item.Index
	for _, v := range []string{"2", "3"} {
		if ok, err := c.Put(ctx, "k", []byte(v), item.Index); !ok || err != nil {
			t.Fatal(ok, err)
		}
		item, _, _ = c.Get(ctx, "k")
	}
	kv.SetFault(fakes.KeyValueFault{})
	item, _, err = c.Watch(ctx, "k", first, 5*time.Second)
	if err != nil || string(item.Value) != "3" {
		t.Fatalf("change: %+v %v", item, err)
	}
	change(func() (bool, error) { return c.Delete(ctx, "k", item.Index) })
	if _, found, err := c.Watch(ctx, "k", item.Index, 5*time.Second); found || err != nil {
		t.Fatalf("deletion: %v %v", found, err)
	}
}

// Guards against two holders with the same fencing token, and against an
// expired holder that still counts as the holder of the key.
func TestLeases(t *testing.T) {
	kv := fakes.NewKeyValue()
	c, _ := start(t, kv)
	ctx := context.Background()
	a, err := c.Lease(ctx, "a", 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := c.Lease(ctx, "b", 10*time.Second)
	f1, held, err := c.Acquire(ctx, "lock", []byte("a"), a)
	if !held || err != nil {
		t.Fatal(held, err)
	}
	if _, held, _ := c.Acquire(ctx, "lock", []byte("b"), b); held {
		t.Fatal("two holders")
	}
	kv.SetFault(fakes.KeyValueFault{LapseSessions: "a"})
	if ok, err := c.RenewLease(ctx, a); ok || err != nil {
		t.Fatalf("renewal of an expired lease: %v %v", ok, err)
	}
	f2, held, err := c.Acquire(ctx, "lock", []byte("b"), b)
	if !held || err != nil || f2 <= f1 {
		t.Fatalf("second holder: fence %d after %d, %v %v", f2, f1, held, err)
	}
	if err := c.Release(ctx, "lock", b); err != nil {
		t.Fatal(err)
	}
	item, _, _ := c.Get(ctx, "lock")
	if string(item.Value) != "b" {
		t.Fatalf("the release changed the value to %q", item.Value)
	}
	if _, err := c.Lease(ctx, "short", time.Second); err == nil {
		t.Fatal("a ttl under 10 s was accepted")
	}
}

// Guards against calls that hang or report success in an outage.
func TestOutage(t *testing.T) {
	kv := fakes.NewKeyValue()
	srv := httptest.NewServer(kv)
	defer srv.Close()
	c, _ := store.New(store.Config{Addresses: []string{srv.URL}, ReadTimeout: 100 * time.Millisecond, WriteTimeout: 100 * time.Millisecond})
	defer c.Close()
	for _, outage := range []fakes.Outage{fakes.OutageRefuse, fakes.OutageCut, fakes.OutageHang} {
		kv.SetFault(fakes.KeyValueFault{Outage: outage})
		begin := time.Now()
		if _, err := c.Put(context.Background(), "k", nil, 0); err == nil {
			t.Fatalf("%s: a write succeeded", outage)
		}
		if _, _, err := c.Get(context.Background(), "k"); err == nil {
			t.Fatalf("%s: a read succeeded", outage)
		}
		if d := time.Since(begin); d > time.Second {
			t.Fatalf("%s: the calls took %s", outage, d)
		}
	}
	if n := len(kv.Writes()); n != 0 {
		t.Fatalf("%d writes took effect in the outage", n)
	}
}
