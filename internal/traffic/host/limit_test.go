package host

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/standin/plain"
)

// Guards against hosts that together send a service more than the request limit that it names.
func TestServiceLimitHoldsOverAllHosts(t *testing.T) {
	const (
		limit  = 20.0
		window = 2 * time.Second
		step   = 100 * time.Millisecond
		// A new issuer issues a quarter of the limit for 4 s, and so does one that has lost touch
		// with the others for as long as it has: with nine hosts that is seen in any case.
		length = 9 * time.Second
		hosts  = 9
	)
	f := newFleet(t, 1, hosts)
	service := f.addPlainService("boat-desk", plain.Options{})
	f.putDocument("testdata/desk.json", 0)
	ask := func(host *Host) (int, string, time.Duration) {
		started := time.Now()
		answer, err := http.Get("http://" + host.CallersAddress + "/services/boat-desk/boats")
		if err != nil {
			return 0, "", 0
		}
		defer answer.Body.Close()
		return answer.StatusCode, answer.Header.Get("Retry-After"), time.Since(started)
	}
	for _, host := range f.hosts {
		require.Eventually(t, func() bool {
			status, _, _ := ask(host)
			return status == http.StatusOK
		}, waitTimeout, pollInterval)
	}
	service.Faults.Set(plain.Faults{
		RequestLimit: strconv.FormatFloat(limit, 'f', -1, 64),
	})
	var clients tomb.Tomb
	for _, host := range f.hosts {
		for range 2 {
			clients.Go(func() error {
				for clients.Alive() {
					if status, retryAfter, _ := ask(host); status != http.StatusOK && retryAfter == "" {
						t.Errorf("status %d without Retry-After", status)
					}
					time.Sleep(pollInterval)
				}
				return nil
			})
		}
	}
	time.Sleep(time.Second)
	var counts []int
	for range length / step {
		counts = append(counts, len(service.Stats().Runs))
		time.Sleep(step)
	}
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	steps := int(window / step)
	most := 0
	for i := range counts[:len(counts)-steps] {
		most = max(most, counts[i+steps]-counts[i])
	}
	require.LessOrEqual(t, most, int(1.5*limit*window.Seconds())+5)
	require.NotZero(t, most, "the limit is used")
}

// Guards against a service that has asked for rest, or has said that it is leaving, and gets
// requests from the same host.
func TestServiceIsLeftAloneWhenItAsksTo(t *testing.T) {
	for name, faults := range map[string]plain.Faults{
		"rest":    {RestFor: "30"},
		"leaving": {SayLeaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			asking := f.addPlainService("boat-desk", plain.Options{})
			_, err := f.platform.AddPlainService("boat-desk-2", "boat-desk", plain.Options{
				WorkTime: 50 * time.Millisecond,
			})
			require.NoError(t, err)
			f.putDocument("testdata/desk.json", 0)
			url := "http://" + f.hosts[0].CallersAddress + "/services/boat-desk/boats/"
			require.Eventually(t, func() bool {
				target, found := f.hosts[0].control.Table().Service("boat-desk")
				return found && len(target.Replicas) == 2
			}, waitTimeout, pollInterval)
			for i := range 10 {
				require.Equal(t, http.StatusOK, getStatus(t, url+strconv.Itoa(i)))
			}
			asking.Faults.Set(faults)
			before := len(asking.Stats().Runs)
			for i := range 30 {
				require.Equal(t, http.StatusOK, getStatus(t, url+"more"+strconv.Itoa(i)))
			}
			stats := asking.Stats()
			require.LessOrEqual(t, len(stats.Runs)-before+stats.Refused, 1)
		})
	}
}

func getStatus(t *testing.T, url string) int {
	answer, err := http.Get(url)
	require.NoError(t, err)
	defer answer.Body.Close()
	return answer.StatusCode
}

// Guards against requests that wait until their time is over while all servers rest.
func TestRequestIsRefusedAtOnceWhereAllServicesRest(t *testing.T) {
	f := newFleet(t, 1, 1)
	service := f.addPlainService("boat-desk", plain.Options{})
	f.putDocument("testdata/desk.json", 0)
	url := "http://" + f.hosts[0].CallersAddress + "/services/boat-desk/boats"
	require.Eventually(t, func() bool { return getStatus(t, url) == http.StatusOK }, waitTimeout, pollInterval)
	service.Faults.Set(plain.Faults{
		RestFor: "30",
	})
	getStatus(t, url)
	for range 5 {
		started := time.Now()
		answer, err := http.Get(url)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Less(t, time.Since(started), time.Second)
		require.Equal(t, http.StatusTooManyRequests, answer.StatusCode)
		retryAfter, err := strconv.Atoi(answer.Header.Get("Retry-After"))
		require.NoError(t, err)
		require.InDelta(t, 29, retryAfter, 3)
	}
	require.Equal(t, 1, service.Stats().Refused)
}
