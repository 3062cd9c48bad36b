package org.streamcourse.process;

import static org.testng.Assert.assertEquals;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Lazily created serializers produce the same bytes as serializers that are created eagerly. */
public class MessageCodecTest {
  private enum Colour {
    RED,
    BLUE
  }

  private record Leaf(Colour colour, String text, long number) {}

  private record Tree(Leaf leaf, List<Leaf> leaves, Colour colour) {}

  private static final List<Class<?>> TYPES = List.of(Colour.class, Leaf.class, Tree.class);

  private static byte[] encodedEagerly(Object value) {
    Kryo kryo = new Kryo();
    kryo.setReferences(false);
    ImmutableCollectionsSerializers.registerSerializers(kryo);
    kryo.register(ArrayList.class);
    kryo.register(java.util.TreeMap.class);
    kryo.register(java.util.TreeSet.class);
    kryo.register(byte[].class);
    for (int i = 0; i < TYPES.size(); i++) {
      kryo.register(TYPES.get(i), 100 + i);
    }
    Output output = new Output(512, -1);
    kryo.writeClassAndObject(output, value);
    return output.toBytes();
  }

  @DataProvider
  public Object[][] values() {
    Leaf whole = new Leaf(Colour.BLUE, "x", 7);
    Leaf partly = new Leaf(null, null, -1);
    return new Object[][] {
      {whole},
      {partly},
      {new Tree(whole, new ArrayList<>(List.of(partly, whole)), Colour.RED)},
      {new Tree(null, null, null)},
    };
  }

  @Test(dataProvider = "values")
  public void encodesLikeEagerSerializers(Object value) {
    MessageCodec codec = new MessageCodec(TYPES);
    byte[] bytes = codec.encode(value);
    assertEquals(bytes, encodedEagerly(value));
    assertEquals(codec.decode(bytes), value);
  }
}
