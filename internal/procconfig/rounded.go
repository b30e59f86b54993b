package procconfig

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// RoundedDown is a whole number that a settings file may give with decimals, which are cut off: a
// bound is never exceeded by a fraction.
type RoundedDown int64

// RoundedUp is a whole number that a settings file may give with decimals, which count as one more:
// a part of a processor or of a loss still needs a whole one. Numbers below zero are rounded away
// from zero, so that none becomes a valid zero.
type RoundedUp int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *RoundedDown) UnmarshalJSON(b []byte) error {
	v, err := number(b)
	if err != nil {
		return err
	}
	*n = RoundedDown(math.Floor(v))
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *RoundedUp) UnmarshalJSON(b []byte) error {
	v, err := number(b)
	if err != nil {
		return err
	}
	if v < 0 {
		*n = RoundedUp(math.Floor(v))
		return nil
	}
	*n = RoundedUp(math.Ceil(v))
	return nil
}

// maxRounded is the largest number up to which floating point holds every whole number.
const maxRounded = 1 << 53

// number decodes a JSON number that can be rounded to a whole one.
func number(b []byte) (float64, error) {
	var v float64
	if err := json.Unmarshal(b, &v); err != nil {
		return 0, errors.New("must be a number")
	}
	if math.Abs(v) > maxRounded {
		return 0, errors.Errorf("%s is out of range", b)
	}
	return v, nil
}
