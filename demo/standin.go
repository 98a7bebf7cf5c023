package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fakes"
	"jackdawbarrow/store"
)

// StandIns are the platform and the upstreams of a Shape, on loopback in this
// process.
type StandIns struct {
	Shape    Shape
	KeyValue *fakes.KeyValue
	Rating   *fakes.Rating
	VMList   *fakes.VMList
	Engines  []*fakes.Engine
	Plains   []*fakes.Plain

	KeyValueAddr string
	RatingAddr   string
	VMListAddr   string
	EngineAddrs  []string
	PlainAddrs   []string

	Document config.Document
	Secrets  Secrets

	// RecordDir, if set before the VMs start, is where each of them records
	// its trace.
	RecordDir string

	servers []*http.Server
}

// EngineTiming is the speed of the engine stand-ins and the seed of what they
// and the rating service draw at random.
type EngineTiming struct {
	FirstToken time.Duration
	PerToken   time.Duration
	Tokens     int
	Seed       uint64
}

// StartStandIns starts the stand-ins and stores the first configuration.
func StartStandIns(ctx context.Context, shape Shape, timing EngineTiming) (*StandIns, error) {
	s := &StandIns{Shape: shape, KeyValue: fakes.NewKeyValue(), VMList: fakes.NewVMList(0)}
	quality := map[string]float64{}
	for _, m := range shape.Models {
		quality[m.Name] = m.Quality
	}
	s.Rating = fakes.NewRating(fakes.RatingConfig{Quality: quality, Noise: 0.08, Seed: timing.Seed + 1})
	var err error
	serve := func(h http.Handler) (addr string) {
		if err == nil {
			addr, err = s.serve(h)
		}
		return addr
	}
	s.KeyValueAddr = serve(s.KeyValue)
	s.RatingAddr = serve(s.Rating)
	s.VMListAddr = serve(s.VMList)
	for i := 0; i < shape.Engines; i++ {
		e := fakes.NewEngine(fakes.EngineConfig{
			Versions: shape.VersionNames(), Capacity: engineConcurrent, Tokens: timing.Tokens,
			FirstToken: timing.FirstToken, PerToken: timing.PerToken,
			ColdFor: 2 * time.Second, ColdCapacity: engineCold, ReportLag: time.Second, ChecksFence: i%2 == 0,
			Seed: timing.Seed*1000 + uint64(i),
		})
		s.Engines = append(s.Engines, e)
		s.EngineAddrs = append(s.EngineAddrs, serve(e))
	}
	for i := 0; i < shape.Plains; i++ {
		p := fakes.NewPlain(fakes.PlainConfig{Capacity: plainConcurrent, Delay: timing.FirstToken})
		s.Plains = append(s.Plains, p)
		s.PlainAddrs = append(s.PlainAddrs, serve(p))
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Document, s.Secrets = shape.Document(s.EngineAddrs, s.PlainAddrs)
	if err := StoreDocument(ctx, s.KeyValueAddr, s.Document); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// StoreDocument stores the first configuration; it fails if there is one.
func StoreDocument(ctx context.Context, keyValueAddr string, doc config.Document) error {
	b, err := doc.Encode()
	if err != nil {
		return err
	}
	kv, err := store.New(store.Config{Addresses: []string{keyValueAddr}})
	if err != nil {
		return err
	}
	created, err := kv.Put(ctx, config.StoreKey, b, 0)
	if err != nil {
		return errors.Wrap(err, "store configuration")
	}
	if !created {
		return jdaw.Fail(jdaw.CodeConflict, "the key-value service holds a configuration already")
	}
	return nil
}

// Close ends the stand-ins.
func (s *StandIns) Close() {
	for _, srv := range s.servers {
		_ = srv.Close() // the listener is closed either way
	}
}

func (s *StandIns) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }() // ends with Close
	return "http://" + l.Addr().String(), nil
}
