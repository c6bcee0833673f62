package jsonfile

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/unit"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type colour string

type wheel struct {
	Name  string
	Spare bool
}

type cart struct {
	Colour colour
	Wheels []wheel
	Load   unit.Bytes
	Age    time.Duration
	Seats  int
	Rate   float64
	Labels map[string]int
	Note   string
}

var wheelTable = Object[wheel]{
	Members: []Member[wheel]{
		Required("Name", func(w *wheel) *string { return &w.Name }, Text[string]{
			Max:     8,
			Pattern: regexp.MustCompile("^[a-z]+$"),
			Form:    "letters",
		}, "What the wheel is called."),
		Optional("Spare", func(w *wheel) *bool { return &w.Spare }, Boolean{}, "Whether it is a spare."),
	},
	NewDefault: func() wheel {
		return wheel{
			Spare: true,
		}
	},
}

var cartTable = Object[cart]{
	Members: []Member[cart]{
		Required("Colour", func(c *cart) *colour { return &c.Colour }, Text[colour]{
			OneOf: []colour{"Red", "Blue"},
		}, "Its colour."),
		Required("Wheels", func(c *cart) *[]wheel { return &c.Wheels }, List[wheel]{
			Item: wheelTable,
			Max:  4,
		}, "Its wheels."),
		Optional("Load", func(c *cart) *unit.Bytes { return &c.Load }, Bytes{
			Max: 64 * unit.Gibibyte,
		}, "What it carries."),
		Optional("Age", func(c *cart) *time.Duration { return &c.Age }, Duration{
			Max: 48 * time.Hour,
		}, "How old it is."),
		Optional("Seats", func(c *cart) *int { return &c.Seats }, Integer[int]{
			Min: 1,
			Max: 9,
		}, "How many sit in it."),
		Optional("Rate", func(c *cart) *float64 { return &c.Rate }, Number{
			Max: 1,
		}, "A rate."),
		Optional("Labels", func(c *cart) *map[string]int { return &c.Labels }, Map[string, int]{
			Key: Text[string]{
				Max: 8,
			},
			Item: Integer[int]{
				Max: 3,
			},
		}, "Labels."),
		Optional("Note", func(c *cart) *string { return &c.Note }, Text[string]{
			MayBeEmpty: true,
			Secret:     true,
			Max:        3,
		}, "A note."),
	},
}

func faultsOf(t *testing.T, text string) []string {
	t.Helper()
	var into cart
	err := Read([]byte(text), cartTable, &into)
	if err == nil {
		return nil
	}
	var faults Faults
	require.True(t, errors.As(err, &faults))
	return strings.Split(faults.Error(), "\n")
}

func TestReadReportsAllFaultsAtOnce(t *testing.T) {
	got := faultsOf(t, `{"Colour": "Green", "Wheels": [{"Name": "front", "Spare": 1}, {"name": "rear"}, 7, {"Name": "rear2"}],
		"Load": "1.5kB", "Age": 3, "Seats": 2.5, "Rate": 1.01, "Labels": {"a": 4, "much too long": 1},
		"Note": "hush, hush", "Colour": "Red", "Sails": null}`)
	require.Equal(t, []string{
		`Colour: found the member twice, allowed each member once`,
		`Colour: found "Green", allowed "Red" or "Blue"`,
		`Wheels[0].Spare: found 1, allowed true or false`,
		`Wheels[1].Name: found nothing, allowed letters of 1 to 8 bytes`,
		`Wheels[1].name: found an unknown member, allowed Name, Spare`,
		`Wheels[2]: found 7, allowed an object`,
		`Wheels[3].Name: found "rear2", allowed letters of 1 to 8 bytes`,
		`Load: found "1.5kB", allowed an amount such as "20GiB" (B, KiB, MiB, GiB) from 0B to 64GiB`,
		`Age: found 3, allowed a length of time such as "1.6s" from 0s to 48h`,
		`Seats: found 2.5, allowed a whole number from 1 to 9`,
		`Rate: found 1.01, allowed a number from 0 to 1`,
		`Labels.a: found 4, allowed a whole number from 0 to 3`,
		`Labels.much too long: found this name, allowed text of 1 to 8 bytes`,
		`Note: found a secret of 10 bytes, allowed text of 1 to 3 bytes`,
		`Sails: found an unknown member, allowed Colour, Wheels, Load, Age, Seats, Rate, Labels, Note`,
	}, got)
}

func TestReadReportsPositionOfMalformedJSON(t *testing.T) {
	cases := map[string]string{
		"{\n  \"Colour\": Red}":       `line 2, column 13: found invalid character 'R' looking for beginning of value`,
		"{} {}":                       `line 1, column 4: found invalid character '{' after top-level value`,
		"{\"Colour\": \"Red\"":        `line 1, column 16: found unexpected end of JSON input`,
		"":                            `line 1, column 1: found unexpected end of JSON input`,
		"{\"Note\": \"\xff\"}":        `line 1, column 11: found bytes that are not UTF-8`,
		strings.Repeat("[", 40):       `found unexpected end of JSON input`,
		"[]":                          `file: found a list of 0, allowed an object`,
		"null":                        `file: found null, allowed an object`,
		strings.Repeat(" ", 1<<20+1):  `file: found 1048577 bytes, allowed at most 1048576 bytes`,
		nested(40):                    `found more than 32 nested values`,
		"{\"Note\": \"a\", \"Note\"}": `line 1, column 21: found invalid character '}' after object key`,
	}
	for text, want := range cases {
		got := faultsOf(t, text)
		require.Len(t, got, 1, "%.40q", text)
		require.Contains(t, got[0], want)
	}
}

func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

func TestReadKeepsDefaults(t *testing.T) {
	into := cart{
		Seats: 4,
	}
	text := `{"Colour": "Red", "Wheels": [{"Name": "a"}, {"Name": "b", "Spare": false}], "Load": "1.5GiB", "Age": "1.6s"}`
	require.NoError(t, Read([]byte(text), cartTable, &into))
	require.Equal(t, 4, into.Seats)
	require.True(t, into.Wheels[0].Spare)
	require.False(t, into.Wheels[1].Spare)
	require.Equal(t, 1536*unit.Mebibyte, into.Load)
	require.Equal(t, 1600*time.Millisecond, into.Age)
}

func TestBytesAndDurationsAreExact(t *testing.T) {
	for _, text := range []string{"0x1p4B", "InfB", "1e3B", "-1B", "0.3B", "B", "", "9999999999GiB", "1 GiB", "NaNGiB"} {
		_, isValid := parseBytes(text)
		require.False(t, isValid, text)
	}
	require.Equal(t, "1536MiB", formatBytes(1536*unit.Mebibyte))
	require.Equal(t, "1h", formatDuration(time.Hour))
	require.Equal(t, "10m", formatDuration(10*time.Minute))
	require.Equal(t, "1h0m1s", formatDuration(time.Hour+time.Second))
}

func TestReadReturnsWhatWriteWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := cart{
			Colour: rapid.SampledFrom([]colour{"Red", "Blue"}).Draw(t, "colour"),
			Wheels: []wheel{},
			Load:   unit.Bytes(rapid.Int64Range(0, int64(64*unit.Gibibyte)).Draw(t, "load")),
			Age:    time.Duration(rapid.Int64Range(0, int64(48*time.Hour)).Draw(t, "age")),
			Seats:  rapid.IntRange(1, 9).Draw(t, "seats"),
			Rate:   rapid.Float64Range(0, 1).Draw(t, "rate"),
			Labels: rapid.MapOf(rapid.StringMatching("[a-z<>&\"]{1,8}"), rapid.IntRange(0, 3)).Draw(t, "labels"),
			Note:   rapid.StringMatching("[ -~éض]{0,1}").Draw(t, "note"),
		}
		if rapid.Bool().Draw(t, "wheel") {
			want.Wheels = append(want.Wheels, wheel{
				Name: "front",
			})
		}
		var got cart
		if len(want.Labels) == 0 {
			want.Labels = nil // empty optional members are omitted
		}
		require.NoError(t, Read(Write(want, cartTable), cartTable, &got))
		require.Equal(t, want, got)
	})
}

func TestDescribeFollowsTableOrder(t *testing.T) {
	lines := Describe(cart{
		Seats: 4,
	}, cartTable)
	paths := make([]string, 0, len(lines))
	for _, line := range lines {
		paths = append(paths, line.Path+" "+line.Kind+" "+line.Default)
	}
	require.Equal(t, []string{
		"Colour string required", "Wheels list required", "Wheels[].Name string required",
		"Wheels[].Spare true or false true", `Load string "0B"`, `Age string "0s"`, "Seats number 4",
		"Rate number 0", "Labels object {}", `Note string ""`,
	}, paths)
}

func FuzzRead(f *testing.F) {
	f.Add(`{"Colour": "Red", "Wheels": [{"Name": "a"}], "Load": "1GiB", "Age": "1s"}`)
	f.Add(`{"Colour": "Red", "Wheels": [[[`)
	f.Fuzz(func(t *testing.T, text string) {
		first := cart{
			Seats: 1, // a default must be within the bounds of its table
		}
		var second cart
		if Read([]byte(text), cartTable, &first) != nil {
			return
		}
		require.NoError(t, Read(Write(first, cartTable), cartTable, &second))
		require.Equal(t, Write(first, cartTable), Write(second, cartTable))
	})
}
